#include <mulberryrudder/kernel/program.hpp>

/// Runs an entry instance: the kernel with the plug-ins of the sets it is linked with.
int main(int argc, char** argv)
{
    return mulberryrudder::kernel::run_program(
        {.name = "mulberryrudder-entry",
         .summary =
             "Answers callers' look-ups, admits their requests and forwards them to targets"},
        argc, argv);
}
