#include "disk_store.hpp"

#include <mulberryrudder/kernel/asio_duty.hpp>
#include <mulberryrudder/peer/orders.hpp>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

namespace mulberryrudder::disk
{

namespace
{

struct disk_settings
{
    std::string folder = "data";
};

std::optional<std::string> check_disk(disk_settings const& it)
{
    if (it.folder.empty())
        return "\"folder\" to name a folder";
    return std::nullopt;
}

kernel::section<disk_settings> const disk_section{
    "disk",
    {kernel::field("folder", &disk_settings::folder, kernel::unbounded,
                   "Folder for the replicated state, for this process alone.")},
    check_disk};

kernel::event_kind const recovered_event({.number = 550,
                                          .name = "disk.recovered",
                                          .level = kernel::severity::info,
                                          .meaning = "The data folder was read.",
                                          .action = "None."});
kernel::event_kind const tail_cut({.number = 551,
                                   .name = "disk.tail_cut",
                                   .level = kernel::severity::warning,
                                   .meaning = "Writes that were never synced, and so never "
                                              "answered, were cut off the log.",
                                   .action = "None after a crash or a loss of power."});
kernel::event_kind const failed_event({.number = 552,
                                       .name = "disk.failed",
                                       .level = kernel::severity::error,
                                       .meaning = "The data folder could not be read, written or "
                                                  "synced, or what had been synced is damaged. "
                                                  "It is opened again every 0.5 s, until "
                                                  "disk.reopened.",
                                       .action = "Mend the disk or make room. If the contents are "
                                                 "damaged, clear the folder and restart: the "
                                                 "instance takes the state over anew."});
kernel::event_kind const reopened_event({.number = 553,
                                         .name = "disk.reopened",
                                         .level = kernel::severity::info,
                                         .meaning = "The data folder can be written again.",
                                         .action = "None."});

kernel::event_kind const record_damaged(
    {.number = 555,
     .name = "disk.record_damaged",
     .level = kernel::severity::warning,
     .meaning = "The record beside the log, which holds the leaves of targets, could not be read. "
                "This instance takes them over from the others.",
     .action = "Check the disk."});

kernel::event_kind const slow_sync({.number = 554,
                                    .name = "disk.slow_sync",
                                    .level = kernel::severity::warning,
                                    .meaning = "Writing and syncing `writes` writes took "
                                               "`took_ms`. Orders, and elections of a leader, wait "
                                               "for the disk.",
                                    .action = "If it persists, check the load of the disk and what "
                                              "shares it."});

kernel::counter_kind const syncs("disk.syncs", "Syncs of the log.");
kernel::counter_kind const writes("disk.writes", "Writes asked for; several share one sync.");
kernel::counter_kind const records_kept("disk.records_kept",
                                        "Records written and synced beside the log.");
kernel::counter_kind const reopen_failures("disk.reopen_failures",
                                           "Attempts to open a failed data folder again that "
                                           "failed.");
kernel::counter_kind const sync_microseconds("disk.sync_microseconds",
                                             "Time spent on writing and syncing.");
kernel::histogram_kind const sync_time("disk.sync", "Time spent on one batch of writes.");

/// Writes that one sync covers at most.
constexpr std::size_t most_writes = 1024;
/// Time until a full ring to the decision duty is tried again.
constexpr milliseconds ring_retry{5};
/// Time until a failed data folder is opened again.
constexpr milliseconds reopen_interval{500};
/// Time from which on a batch of writes counts as slow: half of a heartbeat interval.
constexpr milliseconds slow_sync_limit{100};

/// Recovers the replica's state at the start and then writes and syncs it in
/// batches, as the decision duty asks.
class disk_duty final : public kernel::asio_duty
{
public:
    explicit disk_duty(kernel::duty_parts const& parts)
        : asio_duty(duties::disk, parts), from_decision_(parts.links.link<control::effect>(
                                              duties::decision, duties::disk, duty_ring_capacity)),
          to_decision_(
              parts.links.link<control::input>(duties::disk, duties::decision, duty_ring_capacity)),
          folder_(parts.config.get(disk_section).folder)
    {
    }

protected:
    void started() override
    {
        attempt([this] { return recover(); });
    }

    void take_messages() override
    {
        auto const begun = monotonic_now();
        std::optional<control::disk_ticket> newest;
        control::effect it;
        std::size_t n = 0;
        for (; n != most_writes && from_decision_.try_pop(it); ++n)
            if (std::holds_alternative<control::reopen_disk>(it))
                reopen_later();
            else if (!failed_)
                attempt([&] { return take(it, newest); });
        if (newest && !failed_)
            attempt([&] { return sync(*newest); });
        if (newest)
            record_duration(monotonic_now() - begun, n);
    }

private:
    /// Runs a step on the disk and passes the cause to `on_failure` if it fails.
    template <class Step>
    static void run(Step const& step, std::function<void(std::string const&)> const& on_failure)
    {
        boost::leaf::try_handle_all(
            step, [&](failure const& it) { on_failure(it.place + ": expected " + it.expected); },
            [&] { on_failure("unknown"); });
    }

    /// Runs a step on the disk; after one failure none is run until the folder is reopened.
    template <class Step>
    void attempt(Step const& step)
    {
        run(step, [this](std::string const& cause) { fail(cause); });
    }

    result<void> recover()
    {
        store_.reset();
        files_.reset(); // Releases the lock on the folder.
        BOOST_LEAF_ASSIGN(files_, open_folder(folder_));
        store_ = std::make_unique<disk_store>(*files_);
        BOOST_LEAF_AUTO(found, store_->recover());
        if (found.cut.count() != 0)
            events().record(tail_cut, {{"bytes", std::to_string(found.cut.count())}});
        if (found.is_record_damaged)
            events().record(record_damaged, {});
        events().record(recovered_event,
                        {{"blank", found.recovered.blank ? "yes" : "no"},
                         {"entries", std::to_string(found.recovered.entries.size())}});
        recovered_ = true;
        tell(std::move(found.recovered));
        return {};
    }

    void reopen_later()
    {
        reopening_.expires_after(reopen_interval);
        reopening_.async_wait(
            [this](boost::system::error_code ec)
            {
                if (!ec)
                    run([this] { return reopen(); },
                        [this](std::string const&)
                        {
                            parts().counters.add(reopen_failures);
                            reopen_later();
                        });
            });
    }

    result<void> reopen()
    {
        bool const was_recovered = recovered_;
        if (was_recovered)
            BOOST_LEAF_CHECK(store_->reopen());
        else
            BOOST_LEAF_CHECK(recover());
        failed_ = false;
        events().record(reopened_event, {});
        if (was_recovered)
            tell(control::disk_reopened{});
        return {};
    }

    result<void> take(control::effect const& it, std::optional<control::disk_ticket>& newest)
    {
        auto const write = [&](auto const& asked) -> result<void>
        {
            parts().counters.add(writes);
            newest = asked.ticket;
            return store_->apply(asked);
        };
        if (auto const* const asked = std::get_if<control::persist>(&it))
            return write(*asked);
        if (auto const* const asked = std::get_if<control::persist_snapshot>(&it))
            return write(*asked);
        if (auto const* const asked = std::get_if<control::keep_record>(&it))
            return keep(*asked);
        return {};
    }

    result<void> keep(control::keep_record const& it)
    {
        parts().counters.add(records_kept);
        BOOST_LEAF_CHECK(store_->apply(it));
        tell(control::record_kept{it.version});
        return {};
    }

    result<void> sync(control::disk_ticket newest)
    {
        BOOST_LEAF_CHECK(store_->sync());
        parts().counters.add(syncs);
        tell(control::disk_synced{newest});
        return {};
    }

    void record_duration(span elapsed, std::size_t write_count)
    {
        parts().counters.add(sync_microseconds, static_cast<std::uint64_t>(elapsed.count()));
        parts().counters.observe(sync_time, elapsed);
        if (elapsed < slow_sync_limit)
            return;
        auto const took_ms = std::chrono::duration_cast<milliseconds>(elapsed).count();
        events().record(slow_sync, {{"took_ms", std::to_string(took_ms)},
                                    {"writes", std::to_string(write_count)}});
    }

    void fail(std::string const& cause)
    {
        failed_ = true;
        events().record(failed_event, {{"cause", cause}});
        // The decision core waits for the recovery before anything else.
        if (!recovered_)
            tell(control::disk_recovered{.failed = true});
        tell(control::disk_failed{cause});
    }

    void tell(control::input it)
    {
        unsent_.push_back(std::move(it));
        push_unsent();
    }

    void push_unsent()
    {
        auto const sent = std::find_if_not(unsent_.begin(), unsent_.end(),
                                           [this](control::input& it)
                                           { return to_decision_.try_push(std::move(it)); });
        unsent_.erase(unsent_.begin(), sent);
        if (unsent_.empty())
            return;
        retry_.expires_after(ring_retry);
        retry_.async_wait(
            [this](boost::system::error_code ec)
            {
                if (!ec)
                    push_unsent();
            });
    }

    kernel::ring<control::effect>& from_decision_;
    kernel::ring<control::input>& to_decision_;
    std::string folder_;
    std::unique_ptr<file_system> files_;
    std::unique_ptr<disk_store> store_;
    std::vector<control::input> unsent_; ///< Waits for room in the ring.
    boost::asio::steady_timer retry_{loop()};
    boost::asio::steady_timer reopening_{loop()};
    bool recovered_ = false; ///< The folder was read.
    bool failed_ = false;    ///< Writes are ignored until the folder is reopened.
};

kernel::duty_registrar<disk_duty> const entered{"disk", duty_order::disk};

} // namespace

} // namespace mulberryrudder::disk
