#include "command_line.hpp"

#include <mulberryrudder/kernel/counters.hpp>
#include <mulberryrudder/kernel/events.hpp>
#include <mulberryrudder/kernel/settings.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <popt.h>
#include <vector>

namespace mulberryrudder::kernel::internal
{

namespace
{

enum option_value
{
    option_settings = 1,
    option_check,
    option_version,
    option_events,
    option_counters,
    option_settings_table
};

void list_events()
{
    auto kinds = catalogue<event_kind>::instance().kinds();
    auto const by_number = [](auto const* a, auto const* b)
    { return a->what().number < b->what().number; };
    std::sort(kinds.begin(), kinds.end(), by_number);
    for (auto const* const it : kinds)
    {
        auto const& what = it->what();
        std::cout << "| " << what.number << " | " << what.name << " | " << to_string(what.level)
                  << " | " << what.meaning << " | " << what.action << " |\n";
    }
}

void list_counters()
{
    auto kinds = catalogue<counter_kind>::instance().kinds();
    auto const by_name = [](auto const* a, auto const* b) { return a->name() < b->name(); };
    std::sort(kinds.begin(), kinds.end(), by_name);
    for (auto const* const it : kinds)
        std::cout << "| " << it->name() << " | " << it->meaning() << " |\n";
}

std::string bounds_text(section_base::description const& field)
{
    if (field.within.least == INT64_MIN)
        return "";
    return std::to_string(field.within.least) + " to " + std::to_string(field.within.most);
}

void list_settings()
{
    auto kinds = catalogue<section_base>::instance().kinds();
    auto const by_name = [](auto const* a, auto const* b) { return a->name() < b->name(); };
    std::sort(kinds.begin(), kinds.end(), by_name);
    for (auto const* const section : kinds)
        for (auto const& it : section->describe())
            std::cout << "| /" << section->name() << "/" << it.name << " | " << bounds_text(it)
                      << " | " << (it.required ? "required" : "optional") << " | " << it.meaning
                      << " |\n";
}

void print_version(program_options const& what)
{
    std::cout << what.name << " " << MULBERRYRUDDER_VERSION << "\n";
}

struct popt_deleter
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};
using popt_handle = std::unique_ptr<std::remove_pointer_t<poptContext>, popt_deleter>;

/// Carries out one option; returns an exit code if it leaves nothing else to do.
std::optional<int> take_option(program_options const& what, poptContext context, int option,
                               command_line& out)
{
    switch (option)
    {
    case option_settings:
    {
        std::unique_ptr<char, decltype(&std::free)> const text(poptGetOptArg(context), &std::free);
        out.settings_file = text.get();
        return std::nullopt;
    }
    case option_check:
        out.check_only = true;
        return std::nullopt;
    case option_version:
        print_version(what);
        return exit_ok;
    case option_events:
        list_events();
        return exit_ok;
    case option_counters:
        list_counters();
        return exit_ok;
    case option_settings_table:
        list_settings();
        return exit_ok;
    default:
        return exit_bad_input;
    }
}

int refuse(program_options const& what, std::string const& text)
{
    std::cerr << what.name << ": " << text << "; see --help\n";
    return exit_bad_input;
}

/// Environment variable that names the settings file where the command line does not.
constexpr char const* settings_variable = "MULBERRYRUDDER_CONFIG";

void read_environment(program_options const& what, command_line& out)
{
    if (char const* const file = std::getenv(settings_variable))
        out.settings_file = file;
    if (out.settings_file.empty())
        out.exit_code =
            refuse(what, std::string("--settings FILE or ") + settings_variable + " is required");
}

} // namespace

command_line read_command_line(program_options const& what, int argc, char** argv)
{
    poptOption const table[] = {{"settings", 's', POPT_ARG_STRING, nullptr, option_settings,
                                 "Read the settings from FILE (JSON with comments)", "FILE"},
                                {"check-settings", 0, POPT_ARG_NONE, nullptr, option_check,
                                 "Check the settings and exit: 0 if they are good, 2 if not",
                                 nullptr},
                                {"version", 0, POPT_ARG_NONE, nullptr, option_version,
                                 "Print the version and exit", nullptr},
                                {"list-events", 0, POPT_ARG_NONE, nullptr, option_events,
                                 "Print the catalogue of events and exit", nullptr},
                                {"list-counters", 0, POPT_ARG_NONE, nullptr, option_counters,
                                 "Print the catalogue of counters and exit", nullptr},
                                {"list-settings", 0, POPT_ARG_NONE, nullptr, option_settings_table,
                                 "Print the settings that can be given and exit", nullptr},
                                POPT_AUTOHELP POPT_TABLEEND};
    auto const argv_const = const_cast<char const**>(argv);
    popt_handle const context(poptGetContext(nullptr, argc, argv_const, table, 0));
    poptSetOtherOptionHelp(context.get(), std::string(what.summary).c_str());
    command_line out;
    int option = 0;
    while ((option = poptGetNextOpt(context.get())) > 0)
    {
        out.exit_code = take_option(what, context.get(), option, out);
        if (out.exit_code)
            return out;
    }
    if (option < -1)
        out.exit_code = refuse(what, std::string(poptBadOption(context.get(), 0)) + ": " +
                                         poptStrerror(option));
    else if (char const* const rest = poptPeekArg(context.get()))
        out.exit_code = refuse(what, std::string(rest) + ": no arguments are taken");
    else if (out.settings_file.empty())
        read_environment(what, out);
    return out;
}

} // namespace mulberryrudder::kernel::internal
