#include <mulberryrudder/kernel/asio_duty.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

#include <chrono>
#include <iostream>

namespace mulberryrudder
{

namespace
{

struct log_settings
{
    std::string file;
    std::string format = "text";
    std::string level = "info";
};

std::optional<std::string> check_log_settings(log_settings const& it)
{
    if (it.format != "text" && it.format != "json")
        return "\"format\" to be \"text\" or \"json\"";
    for (auto const* const level : {"debug", "info", "warning", "error"})
        if (it.level == level)
            return std::nullopt;
    return "\"level\" to be \"debug\", \"info\", \"warning\" or \"error\"";
}

kernel::section<log_settings> const log_section{
    "log",
    {
        field("file", &log_settings::file, kernel::unbounded,
              "File that the log is appended to; standard output if absent."),
        field("format", &log_settings::format, kernel::unbounded,
              "\"text\" for people, \"json\" for one JSON object a line."),
        field("level", &log_settings::level, kernel::unbounded,
              "Least severity that is written: debug, info, warning or error."),
    },
    check_log_settings};

std::string wall_clock_text()
{
    auto const now = std::chrono::system_clock::now();
    auto const ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    auto const whole = static_cast<std::time_t>(ms / 1000);
    std::tm parts{};
    gmtime_r(&whole, &parts);
    char buf[40];
    auto const n = std::strftime(buf, sizeof buf, "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(buf + n, sizeof buf - n, ".%03dZ", static_cast<int>(ms % 1000));
    return buf;
}

std::string as_text(kernel::event_record const& it)
{
    auto const& what = it.kind->what();
    std::string out = wall_clock_text() + " " + std::string(to_string(what.level)) + " E" +
                      std::to_string(what.number) + " " + std::string(what.name);
    for (auto const& field : it.fields)
        out += " " + std::string(field.name) + "=" + boost::json::serialize(field.value);
    return out;
}

std::string as_json(kernel::event_record const& it)
{
    auto const& what = it.kind->what();
    boost::json::object out{{"time", wall_clock_text()},
                            {"severity", to_string(what.level)},
                            {"event", what.number},
                            {"name", what.name}};
    for (auto const& field : it.fields)
        out[field.name] = field.value;
    return boost::json::serialize(out);
}

/// Writes the events of all duties by Boost.Log, so that no other duty waits for a file.
class log_duty final : public kernel::asio_duty
{
public:
    explicit log_duty(kernel::duty_parts const& parts)
        : asio_duty(kernel::log_duty_name, parts), config_(parts.config.get(log_section))
    {
        least_ = level_of(config_.level);
        format_ = config_.format == "json" ? &as_json : &as_text;
    }

    void connect() override
    {
        namespace keywords = boost::log::keywords;
        if (config_.file.empty())
            boost::log::add_console_log(std::cout, keywords::auto_flush = true);
        else
            boost::log::add_file_log(keywords::file_name = config_.file,
                                     keywords::open_mode = std::ios::app,
                                     keywords::auto_flush = true);
    }

    void run() override
    {
        sources_ = parts().links.links_to<kernel::event_record>(name());
        asio_duty::run();
        take_messages();
    }

protected:
    void take_messages() override
    {
        for (auto* const it : sources_)
        {
            kernel::event_record record;
            while (it->try_pop(record))
                write(record);
        }
    }

private:
    static kernel::severity level_of(std::string const& name)
    {
        using kernel::severity;
        for (auto const it : {severity::debug, severity::info, severity::warning})
            if (to_string(it) == name)
                return it;
        return severity::error;
    }

    void write(kernel::event_record const& record)
    {
        if (record.kind->what().level >= least_)
            BOOST_LOG(logger_) << format_(record);
    }

    std::vector<kernel::ring<kernel::event_record>*> sources_;
    log_settings config_;
    kernel::severity least_;
    std::string (*format_)(kernel::event_record const&);
    boost::log::sources::logger logger_;
};

constexpr int first_duty = 0;
kernel::duty_registrar<log_duty> const entered{"log", first_duty};

} // namespace

} // namespace mulberryrudder
