#include "log_explanation.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace mulberryrudder::ctl
{

namespace
{

/// An event that changes what an instance believes, and the field that names of what.
struct belief_event
{
    std::string_view name;
    std::string_view subject; ///< Empty if there is one belief of the kind.
};

constexpr std::array belief_events{belief_event{"steering.learned", ""},
                                   belief_event{"targets.learned", "target"},
                                   belief_event{"targets.avoided", "target"}};

/// Fields of each event that are shown elsewhere or say nothing here.
constexpr std::array shown_elsewhere{"time", "name", "event", "severity"};

std::string text_of(boost::json::object const& from, std::string_view name)
{
    auto const* const it = from.if_contains(name);
    if (it == nullptr)
        return {};
    return it->is_string() ? std::string(it->get_string()) : boost::json::serialize(*it);
}

std::string fields_text(boost::json::object const& from)
{
    std::string out;
    for (auto const& it : from)
    {
        bool const left_out = std::find(shown_elsewhere.begin(), shown_elsewhere.end(), it.key()) !=
                              shown_elsewhere.end();
        if (left_out)
            continue;
        out += out.empty() ? "" : " ";
        out += std::string(it.key()) + "=" + text_of(from, it.key());
    }
    return out;
}

/// Returns the last word of a line's prefix, which names the instance where several
/// instances' logs were put together.
std::string instance_of(std::string_view prefix)
{
    std::istringstream in{std::string(prefix)};
    std::string out;
    for (std::string word; in >> word;)
        out = word;
    return out;
}

explained_line shown(std::string const& instance, boost::json::object const& it, bool belief)
{
    return {.instance = instance,
            .time = text_of(it, "time"),
            .name = text_of(it, "name"),
            .text = fields_text(it),
            .belief = belief};
}

belief_event const* find_belief(std::string_view name)
{
    auto const same = [name](belief_event const& it) { return it.name == name; };
    auto const it = std::find_if(belief_events.begin(), belief_events.end(), same);
    return it == belief_events.end() ? nullptr : &*it;
}

std::string key_of(std::string_view event, std::string const& subject)
{
    return std::string(event) + " " + subject;
}

/// Returns the targets of an attempt or of a request's list, `ID+MILLISECONDS ...`.
std::vector<std::string> targets_of(boost::json::object const& decision)
{
    std::vector<std::string> out;
    if (auto const one = text_of(decision, "target"); !one.empty())
        out.push_back(one);
    std::istringstream in(text_of(decision, "attempts"));
    for (std::string word; in >> word;)
        out.push_back(word.substr(0, word.rfind('+')));
    return out;
}

} // namespace

void log_explanation::take(std::string const& line)
{
    auto const begin = line.find('{');
    if (begin == std::string::npos)
        return;
    boost::system::error_code ec;
    auto const read = boost::json::parse(std::string_view(line).substr(begin), ec);
    if (ec || !read.is_object())
        return;
    auto const& it = read.get_object();
    auto const instance = instance_of(std::string_view(line).substr(0, begin));
    if (concerns_request(it))
    {
        tell_beliefs(instance, it);
        found_.push_back(shown(instance, it, false));
    }
    if (auto const* const kind = find_belief(text_of(it, "name")))
        known_[instance][key_of(kind->name, text_of(it, kind->subject))] =
            shown(instance, it, true);
}

bool log_explanation::concerns_request(boost::json::object const& it) const
{
    return text_of(it, "request") == request_ || text_of(it, "id") == request_;
}

void log_explanation::tell_beliefs(std::string const& instance, boost::json::object const& decision)
{
    auto const& believed = known_[instance];
    auto const tell = [&](std::string const& key)
    {
        auto const it = believed.find(key);
        bool const known = it != believed.end() &&
                           std::find(found_.begin(), found_.end(), it->second) == found_.end();
        if (known)
            found_.push_back(it->second);
    };
    auto const targets = targets_of(decision);
    for (auto const& kind : belief_events)
    {
        if (kind.subject.empty())
            tell(key_of(kind.name, ""));
        else
            for (auto const& target : targets)
                tell(key_of(kind.name, target));
    }
}

std::vector<explained_line> log_explanation::lines() const
{
    auto out = found_;
    std::stable_sort(out.begin(), out.end(),
                     [](auto const& a, auto const& b) { return a.time < b.time; });
    return out;
}

} // namespace mulberryrudder::ctl
