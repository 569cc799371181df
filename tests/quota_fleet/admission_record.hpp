#ifndef MULBERRYRUDDER_TESTS_QUOTA_FLEET_ADMISSION_RECORD_HPP
#define MULBERRYRUDDER_TESTS_QUOTA_FLEET_ADMISSION_RECORD_HPP

#include <mulberryrudder/core/time.hpp>

#include <cstdint>
#include <vector>

namespace mulberryrudder::testing
{

/// Counts the admitted and refused requests of one customer in each step of virtual time.
///
/// Thread safety: one owner.
class admission_record
{
public:
    static constexpr milliseconds step{10};

    void begin_step();
    void add(bool is_admitted);

    /// Requests in each step, from the first on.
    std::vector<int> const& admitted() const { return admitted_; }
    std::vector<int> const& refused() const { return refused_; }

    /// Returns the largest number of admitted requests in any five seconds.
    int most_in_window() const;

    /// Returns the limit QUOTA on that number for a customer with a rate in requests a second and a
    /// burst of the same number: the rate for five seconds and the burst, plus a tenth, plus 20
    /// requests.
    static int tolerated(std::int64_t rate);

private:
    std::vector<int> admitted_;
    std::vector<int> refused_;
};

} // namespace mulberryrudder::testing

#endif
