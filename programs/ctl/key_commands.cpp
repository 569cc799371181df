#include "commands.hpp"
#include "exit_codes.hpp"
#include "output.hpp"

#include <mulberryrudder/core/digest.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <fstream>
#include <iostream>
#include <openssl/rand.h>

namespace mulberryrudder::ctl
{

namespace
{

constexpr std::size_t key_bytes = 32;
constexpr std::size_t key_text_least = 16;
constexpr std::size_t id_digits = 12;

std::string digest_text(digest const& it)
{
    return "sha256:" + to_hex(it);
}

std::string id_of(digest const& it)
{
    return to_hex(it).substr(0, id_digits);
}

/// Returns a key of 256 random bits as 64 hexadecimal digits, from the operating
/// system's source (OpenSSL); nothing if there is none.
std::optional<std::string> new_key()
{
    digest random;
    static_assert(sizeof random.bytes == key_bytes);
    if (RAND_bytes(random.bytes.data(), static_cast<int>(random.bytes.size())) != 1)
        return std::nullopt;
    return to_hex(random);
}

/// Reads a key's line from the file or standard input; nothing if it is too short.
std::optional<digest> read_key(invocation const& with)
{
    std::string key;
    std::ifstream file;
    bool const from_input = with.file.empty() || with.file == "-";
    if (!from_input)
        file.open(with.file);
    std::getline(from_input ? std::cin : file, key);
    if (!key.empty() && key.back() == '\r')
        key.pop_back();
    if (key.size() < key_text_least)
    {
        std::cerr << "mulberryctl: expected a key of at least 16 characters on one line of --file "
                     "or of standard input\n";
        return std::nullopt;
    }
    return sha256(key);
}

int generate(invocation const& with)
{
    auto const key = new_key();
    if (!key)
    {
        std::cerr << "mulberryctl: the operating system gives no random numbers\n";
        return exit_failed;
    }
    auto const made = sha256(*key);
    if (with.json)
    {
        boost::json::object const out{
            {"key", *key}, {"digest", digest_text(made)}, {"id", id_of(made)}};
        std::cout << boost::json::serialize(out) << "\n";
        return exit_ok;
    }
    print_table({"WHAT", "VALUE"},
                {{"key", *key}, {"digest", digest_text(made)}, {"id", id_of(made)}});
    std::cerr << "The key is shown this once and kept nowhere.\n";
    return exit_ok;
}

int show_digest(invocation const& with)
{
    auto const key = read_key(with);
    if (!key)
        return exit_bad_input;
    if (with.json)
        std::cout << boost::json::serialize(
                         boost::json::object{{"digest", digest_text(*key)}, {"id", id_of(*key)}})
                  << "\n";
    else
        std::cout << digest_text(*key) << "\n";
    return exit_ok;
}

/// Returns the number for a note of its own: the given one, or the one behind the
/// highest accepted one; nothing if no control instance answers.
std::optional<std::uint64_t> number_for(invocation const& with)
{
    if (with.number)
        return with.number;
    auto const answer = group_of(with).read({.path = "/v1/status"});
    if (answer.exit_code != exit_ok)
    {
        print_problem(answer, "status");
        return std::nullopt;
    }
    auto const* const last = answer.body.if_contains("last_note");
    bool const known = last != nullptr && last->is_object();
    return 1 + (known ? number_in(last->get_object(), "number") : 0);
}

int send_own_note(invocation const& with, boost::json::object body)
{
    auto const number = number_for(with);
    if (!number)
        return exit_unknown;
    body["number"] = *number;
    return send_note(with, boost::json::serialize(body), "note");
}

int add(invocation const& with)
{
    if (with.arguments.size() != 2)
        return refuse_use("keys add takes a customer; the key comes from --file or standard input");
    auto const key = read_key(with);
    if (!key)
        return exit_bad_input;
    boost::json::array const keys{boost::json::string(digest_text(*key))};
    boost::json::object const by_customer{{with.arguments[1], keys}};
    return send_own_note(with, {{"add", boost::json::object{{"keys", by_customer}}}});
}

int withdraw(invocation const& with)
{
    if (with.arguments.size() != 2)
        return refuse_use("keys withdraw takes a key's id, as keys list shows it");
    boost::json::array const ids{boost::json::string(with.arguments[1])};
    return send_own_note(with, {{"withdraw", boost::json::object{{"keys", ids}}}});
}

void add_rows(std::string const& customer, boost::json::value const& from,
              std::vector<table_row>& out)
{
    auto const* const keys = from.is_object() ? from.get_object().if_contains("keys") : nullptr;
    if (keys == nullptr || !keys->is_array())
        return;
    for (auto const& it : keys->get_array())
    {
        auto const text = cell_of(it);
        constexpr std::size_t scheme = 7;
        if (text.size() > scheme)
            out.push_back({customer, text.substr(scheme, id_digits), text});
    }
}

int list(invocation const& with)
{
    auto const answer = group_of(with).read({.path = "/v1/config"});
    if (answer.exit_code != exit_ok)
    {
        print_problem(answer, "config");
        return answer.exit_code;
    }
    std::vector<table_row> rows;
    auto const* const customers = answer.body.if_contains("customers");
    if (customers != nullptr && customers->is_object())
        for (auto const& it : customers->get_object())
            add_rows(it.key(), it.value(), rows);
    if (!with.json)
    {
        print_table({"CUSTOMER", "ID", "DIGEST"}, rows);
        return exit_ok;
    }
    boost::json::array out;
    for (auto const& it : rows)
        out.push_back(boost::json::object{{"customer", it[0]}, {"id", it[1]}, {"digest", it[2]}});
    std::cout << boost::json::serialize(out) << "\n";
    return exit_ok;
}

struct key_command
{
    std::string_view name;
    int (*run)(invocation const& with);
};

constexpr std::array key_commands{key_command{"list", &list}, key_command{"generate", &generate},
                                  key_command{"digest", &show_digest}, key_command{"add", &add},
                                  key_command{"withdraw", &withdraw}};

} // namespace

int handle_keys(invocation const& with)
{
    for (auto const& it : key_commands)
        if (it.name == with.arguments[0])
            return it.run(with);
    return refuse_use("keys takes list, generate, digest, add or withdraw");
}

} // namespace mulberryrudder::ctl
