#include "operator_settings.hpp"

namespace mulberryrudder::operator_http
{

namespace
{

constexpr kernel::limits instance_numbers{1, 65535};
constexpr kernel::limits header_bytes{256, 1024L * 1024};
constexpr kernel::limits body_bytes{1024, 64L * 1024 * 1024};
constexpr kernel::limits times{10, 600'000};
constexpr kernel::limits connection_counts{1, 1000};

std::vector<kernel::field_spec<operator_address>> const& address_fields()
{
    static std::vector<kernel::field_spec<operator_address>> const it{
        required_field("id", &operator_address::id, instance_numbers,
                       "Number of the control instance."),
        required_field("listen", &operator_address::listen, kernel::unbounded,
                       "Where it listens for operators."),
    };
    return it;
}

} // namespace

void read_value(boost::json::value const& from, kernel::reading const& at, kernel::limits,
                operator_address& out)
{
    read_members(from, at, address_fields(), out);
}

kernel::section<operator_settings> const operator_section{
    "operators",
    {
        field("listen", &operator_settings::listen, kernel::unbounded,
              "Address on which a control instance listens for operators; keep it on a network "
              "that only operators reach."),
        field("also_listen", &operator_settings::also_listen, kernel::unbounded,
              "Further addresses for the same requests."),
        field("control", &operator_settings::control, kernel::unbounded,
              "Where all control instances listen for operators, objects of \"id\" and "
              "\"listen\": an answer of one that does not lead then names the leader's address."),
        field("most_header", &operator_settings::most_header, header_bytes,
              "Bytes of a request's header at most."),
        field("most_body", &operator_settings::most_body, body_bytes,
              "Bytes of a request's body at most."),
        field("read_limit", &operator_settings::read_limit, times,
              "Milliseconds an operator may take to send one whole request or take its answer."),
        field("answer_limit", &operator_settings::answer_limit, times,
              "Milliseconds after which a request without an answer gets \"unknown\"."),
        field("most_connections", &operator_settings::most_connections, connection_counts,
              "Connections of operators that are open at the same time."),
    }};

} // namespace mulberryrudder::operator_http
