#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_FAIR_QUEUE_FAIR_QUEUE_STAGE_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_FAIR_QUEUE_FAIR_QUEUE_STAGE_HPP

#include "start_time_queue.hpp"

#include <mulberryrudder/entry/fleet_view.hpp>
#include <mulberryrudder/entry/quantile_estimate.hpp>
#include <mulberryrudder/entry/queue_view.hpp>
#include <mulberryrudder/entry/stage.hpp>
#include <mulberryrudder/entry/target_directory.hpp>

namespace mulberryrudder::entry
{

/// The `fair_queue` section of the settings.
struct fair_queue_settings
{
    std::string order = "start_time";
    std::int64_t most_waiting = 512;
    bool refuse_early = true;
};

extern kernel::section<fair_queue_settings> const fair_queue_section;

/// Lets requests wait for a free slot of their version's targets, customers by turns
/// in proportion to their configured rates. A request that cannot end before its
/// deadline is refused as not run.
class fair_queue_stage final : public stage, private queue_view
{
public:
    explicit fair_queue_stage(stage_parts const& parts);

    step admit(request& what, context& with) override;
    void attempt_ended(request const& what, attempt const& sent, attempt_end const& how,
                       context& with) override;
    void finished(request const& what, outcome const& how, context& with) override;
    void tick(context& with) override;

private:
    /// The requests of one version, which compete for the same targets.
    struct group
    {
        start_time_queue queue;
        span service; ///< Average time a request runs; zero before the first reply.
        quantile_estimate quick{per_mille(100)}; ///< Few requests end sooner than this.
    };

    span expected_wait(request const& what, instant now) const override;
    span expected_service(version_id const& version) const override;
    std::optional<request_id> take_stranded() override;
    std::size_t waiting(version_id const& version) const override;

    start_time_queue::charge charge_of(request const& what, group const& of) const;
    std::int64_t weight_of(customer_id const& customer) const;
    slots slots_of(request const& what) const;
    void start_waiting(context& with);
    bool start_next(version_id const& version, group& of, context& with);
    void refuse_hopeless(group& of, context& with);

    fair_queue_settings config_;
    kernel::service_map& services_;
    std::map<version_id, group> groups_;
    bool starting_ = false; ///< Requests are being started; it must not nest.
};

} // namespace mulberryrudder::entry

#endif
