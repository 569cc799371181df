#include "object_decoding.hpp"
#include "state_json.hpp"

#include <mulberryrudder/control/operator_orders.hpp>

namespace mulberryrudder::operator_http
{

namespace
{

using namespace control;

void read_fingerprint(json_value const& from, reading const& at, digest& out)
{
    if (!from.is_string() || !from_hex(std::string_view(from.get_string()), out))
        at.refuse("a request's fingerprint: 64 hexadecimal digits");
}

std::vector<kernel::field_spec<set_draining>> const& drain_rows()
{
    static std::vector<kernel::field_spec<set_draining>> const it{
        row("instance", &set_draining::instance, &read_instance, true),
        row("draining", &set_draining::draining, &read_flag, true)};
    return it;
}

std::vector<kernel::field_spec<set_quarantine>> const& quarantine_rows()
{
    static std::vector<kernel::field_spec<set_quarantine>> const it{
        row("fingerprint", &set_quarantine::fingerprint, &read_fingerprint, true),
        row("quarantined", &set_quarantine::quarantined, &read_flag, true)};
    return it;
}

json_answer encode_order_answer(order_answer const& it)
{
    return encode_result(it.result);
}

request_codec const drain({.method = "POST",
                           .path = "/v1/drain",
                           .decode = &decode_object<set_draining, &drain_rows>});
request_codec const quarantine({.method = "POST",
                                .path = "/v1/quarantine",
                                .decode = &decode_object<set_quarantine, &quarantine_rows>});
answer_registrar<order_answer, &encode_order_answer> const order_answer_entered;

} // namespace

} // namespace mulberryrudder::operator_http
