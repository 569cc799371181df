#include <mulberryrudder/kernel/program.hpp>

/// Runs stand-ins for callers until their time is over, and prints a report.
int main(int argc, char** argv)
{
    return mulberryrudder::kernel::run_program(
        {.name = "mulberryrudder-fake-caller",
         .summary = "Stands in for callers in tests; prints a report as JSON"},
        argc, argv);
}
