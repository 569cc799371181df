#include "command_line.hpp"

#include <mulberryrudder/kernel/duty.hpp>
#include <mulberryrudder/kernel/program.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <pthread.h>
#include <thread>

namespace mulberryrudder::kernel
{

namespace
{

event_kind const reread_event{
    {.number = 14,
     .name = "settings.read_again",
     .level = severity::info,
     .meaning = "A hang-up signal told that the settings file changed. What is new in it holds "
                "from the next start on; `result` tells whether it is.",
     .action = "If `result` is refused, mend the file: the process could not start with it."}};
event_kind const stop_requested_event{
    {.number = 15,
     .name = "process.stop_requested",
     .level = severity::info,
     .meaning = "A signal asked for a planned stop: the work is finished first.",
     .action = "None."}};

/// Shows the duty's name in tools that list threads; Linux keeps 15 characters.
void name_thread(duty_name const& name)
{
    constexpr std::size_t most = 15;
    pthread_setname_np(pthread_self(), name.value().substr(0, most).c_str());
}

/// Runs the duties of one process from the first thread to the last join.
class process
{
public:
    /// `text` is what the settings file held.
    process(settings config, std::string file, std::string text)
        : config_(std::move(config)), file_(std::move(file)), text_(std::move(text))
    {
    }

    int run()
    {
        // Blocked signals are inherited, so only signal_set's own thread sees them.
        std::signal(SIGPIPE, SIG_IGN);
        boost::asio::signal_set signals(loop_, SIGTERM, SIGINT);
        boost::asio::signal_set hang_ups(loop_, SIGHUP);
        duties_ = duty_registry::instance().make_all(parts_);
        for (auto const& it : duties_)
            it->connect();
        start_threads();
        wait_for_signal(signals);
        wait_for_hang_up(hang_ups);
        loop_.run();
        stop_threads();
        return exit_code_;
    }

private:
    void start_threads()
    {
        for (auto const& it : duties_)
            threads_.emplace_back([this, duty = it.get()] { run_duty(*duty); });
    }

    void run_duty(duty& job)
    {
        name_thread(job.name());
        try
        {
            job.run();
        }
        catch (std::exception const& e)
        {
            std::cerr << "duty " << job.name().value() << " failed: " << e.what() << "\n";
            end(exit_failed);
        }
    }

    void wait_for_signal(boost::asio::signal_set& signals)
    {
        signals.async_wait(
            [this, &signals](boost::system::error_code ec, int)
            {
                if (ec)
                    return;
                if (stop_requested_)
                    return end(exit_ok);
                stop_requested_ = true;
                events_.record(stop_requested_event, {});
                for (auto const& it : duties_)
                    it->prepare_stop();
                wait_for_signal(signals);
            });
    }

    void wait_for_hang_up(boost::asio::signal_set& signals)
    {
        signals.async_wait(
            [this, &signals](boost::system::error_code ec, int)
            {
                if (ec)
                    return;
                read_again();
                wait_for_hang_up(signals);
            });
    }

    /// Settings are in force for a whole run, so that all duties hold the same; a changed
    /// file is only checked, so that its errors show before the next start.
    void read_again()
    {
        auto told = boost::leaf::try_handle_all(
            [this]() -> result<std::vector<event_field>>
            {
                BOOST_LEAF_AUTO(text, read_file(file_));
                BOOST_LEAF_CHECK(parse_settings(text, file_));
                return std::vector<event_field>{
                    {"result", text == text_ ? "unchanged" : "changed"}};
            },
            [](failures const& failed)
            {
                return std::vector<event_field>{{"result", "refused"},
                                                {"place", failed.front().place},
                                                {"expected", failed.front().expected}};
            },
            [] {
                return std::vector<event_field>{{"result", "refused"}};
            });
        told.push_back({"file", file_});
        events_.record(reread_event, std::move(told));
    }

    void end(int code)
    {
        boost::asio::post(loop_,
                          [this, code]
                          {
                              exit_code_ = std::max(exit_code_, code);
                              loop_.stop();
                          });
    }

    /// Stops consumers after producers, so that the log duty, the first, sees the last events.
    void stop_threads()
    {
        for (std::size_t n = duties_.size(); n-- != 0;)
        {
            duties_[n]->stop();
            threads_[n].join();
        }
    }

    settings config_;
    std::string file_; ///< The settings file.
    std::string text_; ///< What it held at the start.
    counter_set counters_;
    wiring links_;
    boost::asio::io_context loop_{1};
    duty_parts parts_{.config = config_,
                      .counters = counters_,
                      .links = links_,
                      .end_process = [this](int code) { end(code); }};
    ring_event_sink events_{duty_name("process"), parts_};
    std::vector<std::unique_ptr<duty>> duties_;
    std::vector<std::thread> threads_;
    bool stop_requested_ = false;
    int exit_code_ = exit_ok;
};

void print(failures const& failed)
{
    for (auto const& it : failed)
        std::cerr << it.place << ": expected " << it.expected << "\n";
}

int run_checked(program_options const& what, settings config, std::string const& file,
                std::string const& text)
{
    try
    {
        return process(std::move(config), file, text).run();
    }
    catch (std::exception const& e)
    {
        std::cerr << what.name << ": cannot start: " << e.what() << "\n";
        return exit_failed;
    }
}

} // namespace

int run_program(program_options const& what, int argc, char** argv)
{
    auto const asked = internal::read_command_line(what, argc, argv);
    if (asked.exit_code)
        return *asked.exit_code;
    return boost::leaf::try_handle_all(
        [&]() -> result<int>
        {
            BOOST_LEAF_AUTO(text, read_file(asked.settings_file));
            BOOST_LEAF_AUTO(config, parse_settings(text, asked.settings_file));
            return asked.check_only
                       ? exit_ok
                       : run_checked(what, std::move(config), asked.settings_file, text);
        },
        [](failures const& failed)
        {
            print(failed);
            return exit_bad_input;
        },
        [&]
        {
            std::cerr << what.name << ": the settings could not be read\n";
            return exit_bad_input;
        });
}

} // namespace mulberryrudder::kernel
