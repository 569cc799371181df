#ifndef MULBERRYRUDDER_KERNEL_DECISION_LOOP_HPP
#define MULBERRYRUDDER_KERNEL_DECISION_LOOP_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/kernel/asio_duty.hpp>
#include <mulberryrudder/kernel/outbox.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <memory>
#include <vector>

namespace mulberryrudder::kernel
{

/// Runs a decision core, which it alone owns: takes inputs from the rings of the
/// edge duties in turn, reads the clock for each, and hands the effects on. While
/// an effect waits for a full ring it takes no inputs.
///
/// A Core has `handle(instant, Input const&, Effects&)` and `tick(instant, Effects&)`.
///
/// Thread safety: as asio_duty.
template <class Core, class Input, class Effects>
class decision_loop : public asio_duty
{
public:
    void prepare_stop() override
    {
        boost::asio::post(loop(), [this] { decide(stop_input()); });
    }

protected:
    /// How a loop runs.
    struct options
    {
        span tick_period;          ///< How often the core is told that time has passed.
        std::size_t ring_capacity; ///< Messages in each ring that starts or ends here.
    };

    decision_loop(duty_name name, duty_parts const& given, options how)
        : asio_duty(std::move(name), given), how_(how)
    {
    }

    virtual Core& core() = 0;
    /// Returns the input that begins a planned stop.
    virtual Input stop_input() const = 0;
    /// Hands one effect to the duty that carries it out.
    virtual void carry_out(typename Effects::value_type& what) = 0;

    /// Takes messages of type T from a duty's ring. Call it from the constructor;
    /// the first source is the one that opens() speaks of.
    template <class T>
    void take_from(duty_name const& from)
    {
        auto& ring = parts().links.template link<T>(from, name(), how_.ring_capacity);
        sources_.push_back(std::make_unique<typed_source<T>>(ring));
    }

    /// Returns the way to a duty, which this loop watches.
    template <class T>
    outbox<T>& send_to(duty_name const& to)
    {
        auto made = std::make_unique<outbox<T>>(
            parts().links.template link<T>(name(), to, how_.ring_capacity));
        auto& out = *made;
        outboxes_.push_back(std::move(made));
        return out;
    }

    /// Holds back all but the first source, and time, until that one has given an input.
    void wait_for_first_source() { open_ = false; }

    void started() override
    {
        run_every(how_.tick_period, [this] { tick(); });
    }

    void take_messages() override
    {
        for (int n = 0; n != batch_size && !blocked(); ++n)
            if (!take_one_each())
                return;
    }

private:
    /// Inputs that are taken from each ring before other work has its turn.
    static constexpr int batch_size = 256;

    struct source
    {
        virtual ~source() = default;
        /// Takes one message as an input; false if there is none.
        virtual bool take(Input& out) = 0;
    };

    template <class T>
    struct typed_source final : source
    {
        explicit typed_source(ring<T>& given) : from(given) {}

        bool take(Input& out) override
        {
            T message;
            if (!from.try_pop(message))
                return false;
            out = Core::to_input(std::move(message));
            return true;
        }

        ring<T>& from;
    };

    bool take_one_each()
    {
        bool any = false;
        for (auto const& it : sources_)
        {
            Input input;
            if (it->take(input))
            {
                any = true;
                open_ = true;
                decide(input);
            }
            if (!open_)
                return any;
        }
        return any;
    }

    bool blocked() const
    {
        auto const is_blocked = [](auto const& it) { return it->blocked(); };
        return std::any_of(outboxes_.begin(), outboxes_.end(), is_blocked);
    }

    void decide(Input const& what)
    {
        core().handle(monotonic_now(), what, effects_);
        carry_out_all();
    }

    void tick()
    {
        for (auto const& it : outboxes_)
            it->flush();
        if (!open_)
            return;
        core().tick(monotonic_now(), effects_);
        carry_out_all();
        take_messages();
    }

    void carry_out_all()
    {
        for (auto& it : effects_)
            carry_out(it);
        effects_.clear();
    }

    options how_;
    std::vector<std::unique_ptr<source>> sources_;
    std::vector<std::unique_ptr<outbox_base>> outboxes_;
    Effects effects_;
    bool open_ = true;
};

} // namespace mulberryrudder::kernel

#endif
