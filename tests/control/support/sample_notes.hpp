#ifndef MULBERRYRUDDER_TESTS_CONTROL_SUPPORT_SAMPLE_NOTES_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_SUPPORT_SAMPLE_NOTES_HPP

#include <mulberryrudder/control/operator_notes.hpp>

namespace mulberryrudder::control::testing
{

inline constexpr std::int64_t sample_now = 1'764'000'000'000'000;
inline constexpr std::int64_t sample_deadline = sample_now + 3'600'000'000;

/// Returns a note that adds one customer with one key and a route for it.
inline release_note first_note(std::uint64_t number = 1)
{
    release_note out{.number = note_number(number)};
    out.add.customers[customer_id("relay")] = {.rate = millitokens_per_second(100'000),
                                               .burst = millitokens(200'000),
                                               .home = region_id("marmara"),
                                               .keys = {sha256("relay's key")}};
    out.add.routes[route_id("timing")] = {.customers = {customer_id("relay")},
                                          .version = version_id("v1")};
    return out;
}

/// Returns a note that starts a move of the route of first_note() to version v2.
inline release_note move_note(std::uint64_t number = 2)
{
    release_note out{.number = note_number(number)};
    out.add.moves[route_id("timing")] = {
        .version = version_id("v2"), .cap = per_mille(300), .deadline = utc_time(sample_deadline)};
    return out;
}

/// Returns a note that changes the customer's rate only.
inline release_note rate_note(std::uint64_t number, std::int64_t rate)
{
    release_note out{.number = note_number(number)};
    out.change.customers[customer_id("relay")].rate = millitokens_per_second(rate);
    return out;
}

inline note_submission submission(release_note note)
{
    return {std::move(note), utc_time(sample_now)};
}

} // namespace mulberryrudder::control::testing

#endif
