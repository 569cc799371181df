#ifndef MULBERRYRUDDER_CORE_BETTING_TEST_HPP
#define MULBERRYRUDDER_CORE_BETTING_TEST_HPP

#include <array>
#include <cstdint>

namespace mulberryrudder
{

/// Counts bad outcomes of a reference, with old ones fading out.
///
/// Thread safety: one owner.
class reference_rate
{
public:
    /// Adds `bad` bad outcomes out of `all`.
    /// Precondition: bad <= all.
    void add(std::uint64_t bad, std::uint64_t all);

    /// Returns the largest rate of bad outcomes that still counts as no worse than
    /// the reference, 0 to 1: twice the reference's rate and a tolerance. Few
    /// observations widen it.
    double tolerated() const;

    std::uint64_t observed() const { return all_; }

private:
    std::uint64_t bad_ = 0;
    std::uint64_t all_ = 0;
};

/// Tests sequentially whether a stream of outcomes is bad more often than a
/// tolerated rate. It bets on bad outcomes with several stakes at once; while the
/// hypothesis holds, no stake can be expected to gain. Capital that falls below
/// its start is restored, so that a fault that appears late is found as fast as
/// an early one; the mean run length to a false alarm is then at least the bound.
///
/// After Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
/// betting" (2023), and Shin, Ramdas and Rinaldo, "E-detectors" (2022).
///
/// Thread safety: one owner.
class betting_test
{
public:
    /// `bound`: mean number of outcomes up to a false alarm, at least.
    explicit betting_test(double bound) : bound_(bound) { capital_.fill(1.0); }

    /// Adds one outcome.
    /// Precondition: 0 < tolerated < 1.
    void add(bool bad, double tolerated);

    /// Adds `bad` bad outcomes and `all - bad` good ones, evenly mixed.
    void add(std::uint64_t bad, std::uint64_t all, double tolerated);

    /// Returns whether the outcomes were bad too often.
    bool rejected() const { return rejected_; }

    /// Returns the evidence against the hypothesis; at the bound it is rejected.
    double evidence() const;

private:
    static constexpr std::array stakes{0.05, 0.2, 0.5, 0.9};

    double bound_;
    std::array<double, stakes.size()> capital_{};
    bool rejected_ = false;
};

} // namespace mulberryrudder

#endif
