#include <mulberryrudder/kernel/events.hpp>

namespace mulberryrudder::kernel
{

std::string_view to_string(severity level)
{
    switch (level)
    {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

event_kind::event_kind(options what) : what_(what)
{
    catalogue<event_kind>::instance().add(*this);
}

} // namespace mulberryrudder::kernel
