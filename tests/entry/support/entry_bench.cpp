#include "entry_bench.hpp"

namespace mulberryrudder::entry
{

namespace
{

stage_registrar<fake_lease> const lease_registrar{"lease", stage_order::lease};
stage_registrar<fake_choice> const choice_registrar{"fake_choice", stage_order::choice};

} // namespace

} // namespace mulberryrudder::entry
