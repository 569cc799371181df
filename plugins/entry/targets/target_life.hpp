#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_TARGET_LIFE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_TARGET_LIFE_HPP

#include <mulberryrudder/entry/target_directory.hpp>

#include <memory>

namespace mulberryrudder::entry
{

/// Life cycle of one target as a Boost.MSM state machine. Events without a transition in the
/// current phase are ignored: a late `serving` does not make a leaving target serve again.
///
/// Thread safety: one owner.
class target_life
{
public:
    target_life();
    ~target_life();
    target_life(target_life&&) noexcept;
    target_life& operator=(target_life&&) noexcept;

    target_phase phase() const;

    /// Applies the state that the target announced.
    void announced(target_state state);

    /// Reports that the target's announcements stopped.
    void announcements_missed();

    /// Reports that a connection was refused or several consecutive attempts failed.
    void failed();

    /// Reports that a probe succeeded or announcements arrive again.
    void recovered();

    /// Reports that the target made no announcement until its expiry time.
    void expired();

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace mulberryrudder::entry

#endif
