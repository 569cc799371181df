#ifndef MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_ARRIVAL_TIMES_HPP
#define MULBERRYRUDDER_PLUGINS_ENTRY_IO_CALLER_HTTP_ARRIVAL_TIMES_HPP

#include <mulberryrudder/core/time.hpp>
#include <mulberryrudder/core/units.hpp>

#include <deque>

namespace mulberryrudder::caller_http
{

/// Remembers when the bytes of a connection were read, so that a request can be dated by its first
/// byte although it is parsed later. Positions count the bytes of the connection from its start.
///
/// Thread safety: one owner.
class arrival_times
{
public:
    /// Notes that all bytes before position `end` had been read by `now`.
    /// Precondition: neither is below that of an earlier call.
    void note(byte_count end, instant now);

    /// Returns when the byte at `position` was read, or a later time if it came in very many
    /// pieces.
    /// Precondition: the byte has been noted and not forgotten.
    instant of(byte_count position) const;

    /// Forgets the bytes before `position`.
    void forget_before(byte_count position);

private:
    /// Bytes that were read together.
    struct piece
    {
        byte_count end;
        instant read;
    };

    std::deque<piece> pieces_;
};

} // namespace mulberryrudder::caller_http

#endif
