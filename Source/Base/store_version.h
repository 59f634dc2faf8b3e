#pragma once

#include "Base/strong.h"

#include <compare>
#include <cstdint>

namespace persimmonshelf {

// Number of the store's present history. The store raises it by one each time it returns from an
// older copy of itself; revisions from before that may then be given out again. Zero if the store
// states none.
using store_era = strong<struct store_era_tag, std::uint64_t>;

// Version of the whole store or of one of its rows: a revision, which increases within one era, and
// the era. Made where an answer of the store is decoded. Versions are ordered by the era first.
class store_version
{
public:
  // Older than every version of a store; in a row's place, it means that the row does not exist.
  store_version() = default;
  store_version(store_era era, std::uint64_t revision)
    : era_(era)
    , revision_(revision)
  {
  }

  store_era era() const { return era_; }
  // The number that the store counts, for messages and logs. Two of them are comparable only within
  // one era, so code compares versions instead.
  std::uint64_t revision() const { return revision_; }
  // False if nothing was read yet, or if the row does not exist.
  bool exists() const { return revision_ > 0; }

  friend auto operator<=>(const store_version&, const store_version&) = default;

private:
  store_era era_;
  std::uint64_t revision_ = 0;
};

}
