#ifndef MULBERRYRUDDER_CONTROL_IO_OPERATOR_CODEC_HPP
#define MULBERRYRUDDER_CONTROL_IO_OPERATOR_CODEC_HPP

#include <mulberryrudder/control/utc_time.hpp>
#include <mulberryrudder/core/any_message.hpp>
#include <mulberryrudder/core/error.hpp>
#include <mulberryrudder/kernel/counters.hpp>

#include <boost/json/object.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <typeindex>
#include <variant>

namespace mulberryrudder::operator_http
{

/// What an operator sent, as far as a codec needs it.
struct request_text
{
    std::string_view name; ///< The last segment of the path, if the codec takes one.
    std::string_view body;
    control::utc_time now; ///< Wall-clock time of the arrival.
    kernel::counter_set const& counters;
    std::string_view query; ///< Behind the path's '?'.
    /// Returns a header field's value; empty if it is absent. May be empty itself.
    std::function<std::string_view(std::string_view name)> field;
};

/// An answer as a JSON object, which the front end may add to.
struct json_answer
{
    unsigned status = 200;
    boost::json::object body;
    std::string location;                ///< Where to ask instead; empty for nowhere.
    std::optional<std::string> document; ///< Sent as it is in place of `body`, if given.
};

/// An answer in another form.
struct text_answer
{
    std::string content_type;
    std::string body;
};

/// A request for the decision core, or an answer that needs no decision.
using decoded = std::variant<any_message, json_answer, text_answer>;

/// Reads one kind of operator's request. Define it as a static object: the front
/// end finds it by method and path, so that a plug-in can add its own requests.
class request_codec
{
public:
    /// What a codec consists of; texts must be literals.
    struct options
    {
        std::string_view method;
        std::string_view path; ///< Such as `/v1/notes`; with `named`, up to the last slash.
        bool named = false;    ///< Whether a segment follows behind the path.
        std::string_view tail; ///< With `named`, what follows behind the segment.
        decoded (*decode)(request_text const& from) = nullptr;
    };

    explicit request_codec(options what);
    request_codec(request_codec const&) = delete;
    request_codec& operator=(request_codec const&) = delete;

    options const& what() const noexcept { return what_; }

private:
    options what_;
};

/// Writes one type of answer of the decision core. Define it as a static object.
class answer_codec
{
public:
    using encoder = json_answer (*)(any_message const& from);

    answer_codec(std::type_index type, encoder how);
    answer_codec(answer_codec const&) = delete;
    answer_codec& operator=(answer_codec const&) = delete;

    std::type_index type() const noexcept { return type_; }
    json_answer encode(any_message const& from) const { return encode_(from); }

private:
    std::type_index type_;
    encoder encode_;
};

/// Makes an answer codec from a function `json_answer f(T const&)`.
template <class T, json_answer (*Encode)(T const&)>
class answer_registrar
{
public:
    answer_registrar()
        : codec_(std::type_index(typeid(T)),
                 [](any_message const& from) { return Encode(*from.get<T>()); })
    {
    }

private:
    answer_codec codec_;
};

/// Decodes a request by the codec that fits; answers 404 or 405 if there is none.
/// Nothing of the request is repeated in an answer but names of up to 24 characters,
/// so that a key in the wrong place is not shown.
///
/// Thread safety: any thread, after main started.
decoded decode_request(std::string_view method, std::string_view target, request_text const& with);

/// Encodes an answer by the codec of its type.
json_answer encode_answer(any_message const& from);

/// Answers with the instance's counters, in the form that common collectors read.
decoded show_counters(request_text const& from);

/// Answers 422 with the failures.
json_answer refuse(failures const& failed);

/// Returns failures as a JSON array of `place` and `expected`.
boost::json::array to_json(failures const& failed);

} // namespace mulberryrudder::operator_http

#endif
