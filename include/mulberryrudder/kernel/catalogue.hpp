#ifndef MULBERRYRUDDER_KERNEL_CATALOGUE_HPP
#define MULBERRYRUDDER_KERNEL_CATALOGUE_HPP

#include <cstddef>
#include <deque>
#include <string_view>

namespace mulberryrudder::kernel
{

/// Lists the kinds of one class that plug-ins define as static objects. A kind
/// enters itself from its constructor; the list is complete when main starts.
///
/// Thread safety: entries are added before main; reading afterwards is free.
template <class Kind>
class catalogue
{
public:
    static catalogue& instance()
    {
        static catalogue it;
        return it;
    }

    /// Adds a kind that lives until the process ends; returns its position.
    std::size_t add(Kind const& kind)
    {
        kinds_.push_back(&kind);
        return kinds_.size() - 1;
    }

    std::deque<Kind const*> const& kinds() const { return kinds_; }

private:
    std::deque<Kind const*> kinds_;
};

/// Base of a class of kinds that consist of a name and a meaning. `Kind` is the class that
/// derives from it.
template <class Kind>
class named_kind
{
public:
    /// `name` is lower case with dots, `meaning` a sentence for operators; both must be
    /// literals.
    named_kind(std::string_view name, std::string_view meaning)
        : name_(name), meaning_(meaning),
          position_(catalogue<Kind>::instance().add(static_cast<Kind const&>(*this)))
    {
    }
    named_kind(named_kind const&) = delete;
    named_kind& operator=(named_kind const&) = delete;

    std::string_view name() const noexcept { return name_; }
    std::string_view meaning() const noexcept { return meaning_; }
    std::size_t position() const noexcept { return position_; }

private:
    std::string_view name_;
    std::string_view meaning_;
    std::size_t position_;
};

} // namespace mulberryrudder::kernel

#endif
