#ifndef MULBERRYRUDDER_TESTS_CONTROL_FLEET_STATE_RANDOM_NOTE_HPP
#define MULBERRYRUDDER_TESTS_CONTROL_FLEET_STATE_RANDOM_NOTE_HPP

#include <mulberryrudder/control/release_note.hpp>
#include <mulberryrudder/core/random.hpp>

namespace mulberryrudder::control::testing
{

/// Returns a random note. It uses only a few names, so that notes often refer to entries of
/// earlier notes.
release_note random_note(random_source& random, note_number number);

} // namespace mulberryrudder::control::testing

#endif
