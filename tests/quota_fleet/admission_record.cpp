#include "admission_record.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace mulberryrudder::testing
{

void admission_record::begin_step()
{
    admitted_.push_back(0);
    refused_.push_back(0);
}

void admission_record::add(bool is_admitted)
{
    ++(is_admitted ? admitted_ : refused_).back();
}

int admission_record::most_in_window() const
{
    auto const length = std::min<std::size_t>(seconds(5) / step, admitted_.size());
    auto sum = std::accumulate(admitted_.begin(),
                               admitted_.begin() + static_cast<std::ptrdiff_t>(length), 0);
    int most = sum;
    for (std::size_t n = length; n != admitted_.size(); ++n)
    {
        sum += admitted_.at(n) - admitted_.at(n - length);
        most = std::max(most, sum);
    }
    return most;
}

int admission_record::tolerated(std::int64_t rate)
{
    return static_cast<int>((rate * 5 + rate) * 11 / 10 + 20);
}

} // namespace mulberryrudder::testing
