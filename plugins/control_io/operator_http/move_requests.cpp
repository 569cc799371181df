#include "utc_text.hpp"

#include <mulberryrudder/control/operator_moves.hpp>
#include <mulberryrudder/control_io/operator_codec.hpp>

#include <boost/json/array.hpp>

namespace mulberryrudder::operator_http
{

namespace
{

using namespace control;

decoded decode_move_query(request_text const& from)
{
    return any_message::of(move_query{route_id(std::string(from.name))});
}

json_answer encode_move(move_report const& it)
{
    if (it.state.empty())
        return {.status = 404, .body = {{"result", "no_such_move"}}};
    boost::json::array steps;
    for (auto const& step : it.steps)
        steps.push_back(boost::json::object{{"at", to_text(step.at)},
                                            {"what", step.what},
                                            {"share", step.share.count()},
                                            {"evidence", step.evidence}});
    boost::json::array evidence;
    for (auto const& sentence : it.evidence)
        evidence.push_back(boost::json::string(sentence));
    json_answer out;
    out.body = {{"result", "ok"},
                {"route", it.route.value()},
                {"state", it.state},
                {"from", it.from.value()},
                {"to", it.to.value()},
                {"share", it.share.count()},
                {"cap", it.cap.count()},
                {"deadline", to_text(it.deadline)},
                {"steps", std::move(steps)},
                {"evidence", std::move(evidence)}};
    return out;
}

request_codec const
    explain({.method = "GET", .path = "/v1/moves", .named = true, .decode = &decode_move_query});
answer_registrar<move_report, &encode_move> const move_report_entered;

} // namespace

} // namespace mulberryrudder::operator_http
