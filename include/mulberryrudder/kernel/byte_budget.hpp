#ifndef MULBERRYRUDDER_KERNEL_BYTE_BUDGET_HPP
#define MULBERRYRUDDER_KERNEL_BYTE_BUDGET_HPP

#include <mulberryrudder/core/units.hpp>

namespace mulberryrudder::kernel
{

/// Bounds what all connections of a duty hold of bytes that others send, whatever each of
/// them may hold by itself.
///
/// Thread safety: one duty.
class byte_budget
{
public:
    explicit byte_budget(byte_count most) : most_(most) {}
    byte_budget(byte_budget const&) = delete;
    byte_budget& operator=(byte_budget const&) = delete;

    byte_count used() const { return used_; }
    bool is_exhausted() const { return used_ >= most_; }

private:
    friend class byte_charge;

    byte_count most_;
    byte_count used_{0};
};

/// What one connection holds of a budget; given back when it ends.
///
/// Thread safety: the budget's duty.
class byte_charge
{
public:
    /// Precondition: the budget outlives the charge.
    explicit byte_charge(byte_budget& of) : of_(of) {}
    ~byte_charge() { reset(); }
    byte_charge(byte_charge const&) = delete;
    byte_charge& operator=(byte_charge const&) = delete;

    /// Changes what is held; returns false, and changes nothing, if that is more than the
    /// budget allows.
    bool set(byte_count held)
    {
        auto const used = of_.used_ - held_ + held;
        if (held > held_ && used > of_.most_)
            return false;
        of_.used_ = used;
        held_ = held;
        return true;
    }

    /// Changes what is held, also beyond what the budget allows.
    void replace(byte_count held)
    {
        of_.used_ += held - held_;
        held_ = held;
    }

    void reset() { replace(byte_count(0)); }

private:
    byte_budget& of_;
    byte_count held_{0};
};

} // namespace mulberryrudder::kernel

#endif
