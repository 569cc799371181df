#include "known_failures.hpp"

#include <algorithm>
#include <istream>
#include <sstream>

namespace mulberryrudder::testing
{

known_failures::known_failures(std::istream& list, std::string const& program)
{
    std::string line;
    while (std::getline(list, line))
    {
        std::istringstream words(line);
        std::string owner;
        std::string test;
        if (words >> owner >> test && owner == program)
            listed_.insert(test);
    }
}

std::string const* known_failures::find(std::string const& name) const
{
    auto const names = [&](std::string const& it)
    { return name == it || name.ends_with("::" + it); };
    auto const it = std::find_if(listed_.begin(), listed_.end(), names);
    return it == listed_.end() ? nullptr : &*it;
}

std::vector<std::string> known_failures::missing_from(std::vector<std::string> const& failed) const
{
    std::set<std::string> left = listed_;
    for (auto const& it : failed)
        if (auto const* const name = find(it))
            left.erase(*name);
    return {left.begin(), left.end()};
}

} // namespace mulberryrudder::testing
