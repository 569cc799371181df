#include <mulberryrudder/kernel/program.hpp>

/// Runs a control instance: the kernel with the plug-ins of the sets it is linked with.
int main(int argc, char** argv)
{
    return mulberryrudder::kernel::run_program(
        {.name = "mulberryrudder-control",
         .summary = "Keeps the durable state, grants leases and carries out moves"},
        argc, argv);
}
