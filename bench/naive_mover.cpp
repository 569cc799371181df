#include "moves_simulation.hpp"

namespace mulberryrudder::bench
{

move_result run_naive_move(move_case const& what, std::uint64_t seed)
{
    constexpr int periods = 10;
    random_source random(seed);
    simulated_versions const versions(what);
    move_result out;
    auto const period = what.time / periods;
    auto const per_period = static_cast<int>(what.requests_per_second *
                                             static_cast<double>(period.count()) / 1'000'000.0);
    // The watch after completion lasts as long as the control's.
    for (int n = 0; n != 2 * periods && !out.taken_back; ++n)
    {
        double const share =
            static_cast<double>(what.cap.count()) / 1000.0 * std::min(1.0, (n + 1.0) / periods);
        std::bernoulli_distribution goes_to_new(share);
        int sent = 0;
        int failed = 0;
        for (int r = 0; r != per_period; ++r)
        {
            ++out.requests_all;
            if (!goes_to_new(random))
                continue;
            auto const since = n * period + period * r / per_period;
            bool const faulty = versions.shows_fault(since, share);
            ++sent;
            ++out.requests_to_new;
            out.requests_to_faulty += faulty ? 1 : 0;
            failed += versions.draw(faulty, random).failed ? 1 : 0;
        }
        out.taken_back = failed * 20 > sent;
        out.reached = out.reached || (n + 1 == periods && !out.taken_back);
    }
    out.done = !out.taken_back;
    return out;
}

} // namespace mulberryrudder::bench
