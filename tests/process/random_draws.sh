# Draws of the soaks, sourced by them. The schedule depends on the variable seed of the caller alone.

random_state=$seed
# Sets `drawn` to 0..COUNT-1. The generator is SplitMix64
# (Steele, Lea and Flood, 2014), whose draws are independent also of seeds that are close together.
draw() { # COUNT
  local z
  random_state=$((random_state + 0x9E3779B97F4A7C15))
  z=$(((random_state ^ ((random_state >> 30) & 0x3FFFFFFFF)) * 0xBF58476D1CE4E5B9))
  z=$(((z ^ ((z >> 27) & 0x1FFFFFFFFF)) * 0x94D049BB133111EB))
  z=$((z ^ ((z >> 31) & 0x1FFFFFFFF)))
  drawn=$((((z >> 1) & 0x7FFFFFFFFFFFFFFF) % $1))
}
draw_of() { # WORD...   Sets `drawn` to one of the words.
  draw $#
  drawn=${*:drawn+1:1}
}
shuffle() { # WORD...   Sets `shuffled`.
  local n swapped
  shuffled=("$@")
  for ((n = $# - 1; n > 0; n--)); do
    draw $((n + 1))
    swapped=${shuffled[n]} shuffled[n]=${shuffled[drawn]} shuffled[drawn]=$swapped
  done
}
