#ifndef MULBERRYRUDDER_TESTS_CONTROL_REPLICA_FAKE_DISK_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_REPLICA_FAKE_DISK_HPP

#include <mulberryrudder/control/inputs.hpp>

#include <deque>
#include <optional>
#include <variant>

namespace mulberryrudder::control::testing
{

/// A disk in memory that separates synced from unsynced writes, so that a kill can drop
/// unsynced ones.
class fake_disk
{
public:
    using write = std::variant<persist, persist_snapshot>;

    /// Adds an unsynced write.
    void add(write data) { unsynced_.push_back(std::move(data)); }

    /// Syncs the oldest write; returns its ticket, or std::nullopt if there is none.
    std::optional<disk_ticket> sync_one();

    /// Syncs the first `synced_count` writes and drops the others.
    void drop_unsynced(std::size_t synced_count);

    bool fails = false;        ///< Writes are lost.
    bool failure_told = false; ///< The instance knows of a failure and of no reopening since.
    bool was_read = true;      ///< The running process was told the contents.
    std::size_t unsynced() const { return unsynced_.size(); }
    disk_recovered const& contents() const { return contents_; }
    void replace_contents(disk_recovered contents);

private:
    void apply(persist const& data);
    void apply(persist_snapshot const& data);

    disk_recovered contents_;
    std::deque<write> unsynced_;
};

} // namespace mulberryrudder::control::testing

#endif
