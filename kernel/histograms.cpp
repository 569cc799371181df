#include <mulberryrudder/kernel/histograms.hpp>

#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <vector>

namespace mulberryrudder::kernel
{

namespace
{

/// Upper bounds in seconds: from a message between duties to the longest timeouts, each
/// about twice the one before.
prometheus::Histogram::BucketBoundaries const bounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                     0.2,   0.5,   1,     2,    5,    10,   30};

} // namespace

std::string metric_name(std::string_view name)
{
    auto out = "mulberryrudder_" + std::string(name);
    std::replace(out.begin(), out.end(), '.', '_');
    return out;
}

struct histogram_set::state
{
    prometheus::Registry registry;
    std::vector<prometheus::Histogram*> all;
};

histogram_set::histogram_set() : state_(std::make_unique<state>())
{
    for (auto const* const it : catalogue<histogram_kind>::instance().kinds())
    {
        auto& family = prometheus::BuildHistogram()
                           .Name(metric_name(it->name()) + "_seconds")
                           .Help(std::string(it->meaning()))
                           .Register(state_->registry);
        state_->all.push_back(&family.Add({}, bounds));
    }
}

histogram_set::~histogram_set() = default;

void histogram_set::observe(histogram_kind const& kind, span took)
{
    state_->all[kind.position()]->Observe(std::chrono::duration<double>(took).count());
}

std::string histogram_set::text() const
{
    return prometheus::TextSerializer().Serialize(state_->registry.Collect());
}

} // namespace mulberryrudder::kernel
