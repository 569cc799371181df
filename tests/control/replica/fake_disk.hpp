#ifndef MULBERRYRUDDER_TESTS_CONTROL_REPLICA_FAKE_DISK_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_REPLICA_FAKE_DISK_HPP

#include <mulberryrudder/control/inputs.hpp>

#include <deque>
#include <optional>
#include <variant>

namespace mulberryrudder::control::testing
{

/// Keeps writes apart from what is synced, so that a kill loses the unsynced tail.
class fake_disk
{
public:
    using write = std::variant<persist, persist_snapshot>;

    /// Takes a write that is not synced yet.
    void add(write it) { unsynced_.push_back(std::move(it)); }

    /// Syncs the oldest write; returns its ticket, nothing if there is none.
    std::optional<disk_ticket> sync_one();

    /// Syncs the first `survivors` writes and loses the others.
    void lose_unsynced(std::size_t survivors);

    std::size_t unsynced() const { return unsynced_.size(); }
    disk_recovered const& contents() const { return contents_; }
    void replace_contents(disk_recovered it);

private:
    void apply(persist const& it);
    void apply(persist_snapshot const& it);

    disk_recovered contents_;
    std::deque<write> unsynced_;
};

} // namespace mulberryrudder::control::testing

#endif
