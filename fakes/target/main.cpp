#include <mulberryrudder/kernel/program.hpp>

/// Runs stand-ins for targets: the kernel with their duties.
int main(int argc, char** argv)
{
    return mulberryrudder::kernel::run_program(
        {.name = "mulberryrudder-fake-target", .summary = "Stands in for targets in tests"}, argc,
        argv);
}
