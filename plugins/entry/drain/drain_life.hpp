#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_DRAIN_DRAIN_LIFE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_DRAIN_DRAIN_LIFE_HPP

#include <memory>

namespace mulberryrudder::entry
{

/// Where an instance is on its way out.
enum class drain_phase
{
    serving,
    drained,  ///< An operator takes it out; it serves on and may come back.
    winding,  ///< It stops; callers may still know it from answers and connections.
    closing,  ///< No caller can know it any more; idle connections are closed.
    completed ///< Nothing runs; the process may end.
};

/// Follows an instance through a drain or a planned stop by a Boost.MSM state
/// machine. A stop is final; a drain can be taken back.
///
/// Thread safety: one owner.
class drain_life
{
public:
    drain_life();
    ~drain_life();
    drain_life(drain_life const&) = delete;
    drain_life& operator=(drain_life const&) = delete;

    drain_phase phase() const;

    void drain_ordered();
    void drain_withdrawn();
    void stop_requested();
    void callers_gone();
    void work_ended();

private:
    class machine;
    std::unique_ptr<machine> machine_;
};

} // namespace mulberryrudder::entry

#endif
