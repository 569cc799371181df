#include "duplicate_names.hpp"
#include "state_json.hpp"
#include "value_readers.hpp"

#include <mulberryrudder/control/operator_orders.hpp>

#include <boost/leaf/handle_errors.hpp>

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

template <class Order, std::vector<kernel::field_spec<Order>> const& (*Rows)()>
decoded decode_order(request_text const& from)
{
    return boost::leaf::try_handle_all(
        [&]() -> result<decoded>
        {
            BOOST_LEAF_AUTO(root, kernel::parse_json(from.body, "order"));
            failures failed;
            find_duplicate_names(from.body, failed);
            Order order;
            kernel::read_members(root, {"", failed}, Rows(), order);
            if (!failed.empty())
                return boost::leaf::new_error(std::move(failed));
            return decoded(any_message::of(std::move(order)));
        },
        [](failures const& failed) -> decoded { return refuse(failed); },
        []() -> decoded { return refuse({{.place = "order", .expected = "an order"}}); });
}

json_answer encode_order_answer(order_answer const& it)
{
    return encode_result(it.result);
}

request_codec const drain({.method = "POST",
                           .path = "/v1/drain",
                           .decode = &decode_order<set_draining, &drain_rows>});
request_codec const quarantine({.method = "POST",
                                .path = "/v1/quarantine",
                                .decode = &decode_order<set_quarantine, &quarantine_rows>});
answer_registrar<order_answer, &encode_order_answer> const order_answer_entered;

} // namespace

} // namespace mulberryrudder::operator_http
