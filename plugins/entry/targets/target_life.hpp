#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_TARGET_LIFE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_TARGETS_TARGET_LIFE_HPP

#include <mulberryrudder/entry/target_directory.hpp>

#include <memory>

namespace mulberryrudder::entry
{

/// Follows one target through its life by a Boost.MSM state machine. What does not
/// apply in a phase is ignored: a late `serving` does not bring a leaving target back.
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

    /// Takes the state that the target announced.
    void says(target_state state);

    /// Its announcements stopped.
    void went_silent();

    /// Connections were refused, or several attempts in a row failed.
    void failed();

    /// A probe or an attempt succeeded, or the announcements came back.
    void recovered();

    /// It is silent for so long that nothing is expected of it.
    void forgotten();

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace mulberryrudder::entry

#endif
