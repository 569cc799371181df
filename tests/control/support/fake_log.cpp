#include "fake_log.hpp"

namespace mulberryrudder::control::testing
{

namespace
{

component_registrar<fake_log> const registered{"fake_log", component_order::replica};

} // namespace

} // namespace mulberryrudder::control::testing
