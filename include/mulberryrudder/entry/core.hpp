#ifndef MULBERRYRUDDER_ENTRY_CORE_HPP
#define MULBERRYRUDDER_ENTRY_CORE_HPP

#include <mulberryrudder/entry/numbering.hpp>
#include <mulberryrudder/entry/stage.hpp>

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace mulberryrudder::entry
{

/// Makes the decisions of one entry instance: inputs and times in, effects out.
/// It does no I/O and reads no clock, so the same object runs in the program and,
/// several at once, in tests on virtual time.
///
/// Thread safety: one owner.
class core final : private pipeline
{
public:
    /// What a core is made of. All of it outlives the core.
    struct options
    {
        kernel::settings const& config;
        kernel::counter_set& counters;
        kernel::event_sink& events;
        identity self;
        std::uint64_t seed; ///< For the injected random source.
    };

    /// Returns what the core is told when a duty's ring holds this.
    static input to_input(input what) { return what; }
    static input to_input(envelope message) { return message_arrived{std::move(message)}; }

    explicit core(options with);
    ~core() override;

    /// Takes one input in and appends what is to be done to `out`.
    /// Precondition: `now` is not before that of any earlier call.
    void handle(instant now, input const& what, effects& out);

    /// Lets time pass: deadlines, renewals, probes. Call it every tick period.
    void tick(instant now, effects& out);

    /// Returns how many requests are unfinished.
    std::size_t unfinished() const override { return live_.size(); }

    /// Returns an interface that a stage provides, for tests and for the operator's view.
    kernel::service_map const& services() const { return services_; }

private:
    /// A request with its place in the pipeline.
    struct live_request
    {
        request what;
        std::size_t at = 0;
        bool waiting = false;
    };
    struct named_stage
    {
        std::string_view name;
        std::unique_ptr<stage> rule;
    };

    void take(request_arrived const& it);
    void take(caller_gone const& it);
    void take(lookup_arrived const& it);
    void take(attempt_replied const& it);
    void take(attempt_failed const& it);
    void take(announcement const& it);
    void take(probe_ended const& it);
    void take(message_arrived const& it);
    void take(question_arrived const& it);
    void take(stop_requested const& it);

    void resume(request_id id) override;
    void resume_from(request_id id, std::string_view stage) override;
    void finish(request_id id, outcome what) override;
    void limit_deadline(request_id id, instant deadline) override;
    request* find(request_id id) override;
    void inject(request taken, std::string_view stage) override;
    void start_attempt(request_id id, chosen_target const& target) override;
    void cancel_attempt(attempt_id id) override;
    void publish_lease(messages::lease_grant const& grant) override;
    void collect_report(messages::renew_request& out) override;
    request_id next_request_id() override;
    attempt_id next_attempt_id() override;

    void begin(instant now);
    void flush(effects& out);
    void admit(request taken, std::size_t at);
    void advance(request_id id);
    void send_chosen(live_request& it);
    std::optional<outcome> rechecked(request const& what);
    void send(live_request& it, chosen_target const& target);
    void end_attempt(attempt_id id, attempt_end const& how);
    void recover(request_id id, attempt const& last, attempt_end const& how);
    void cancel_running(request const& what);
    void count(outcome const& what);
    void forget_deadline(request_id id, instant deadline);
    void end_overdue();
    std::size_t position(std::string_view name) const;

    identity self_;
    kernel::service_map services_;
    random_source random_;
    effects scratch_; ///< Collects the effects of the call that is being handled.
    context context_;
    std::vector<named_stage> stages_;
    std::unordered_map<request_id, live_request> live_;
    std::unordered_map<attempt_id, request_id> attempts_;
    std::multimap<instant, request_id> deadlines_;
    numbering numbers_;
    bool leased_before_ = false;
};

} // namespace mulberryrudder::entry

#endif
