#pragma once

#include "Base/instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace persimmonshelf {

// Limits the number of connections of one listener. Connections that are incomplete, because their
// peer has not begun a session or stopped in the middle of a message, are closed in favour of new
// ones, the one longest without progress first.
class connection_budget
{
  struct state;

public:
  // Place of one connection. It is returned to the budget when the place is destroyed.
  class place
  {
  public:
    place() = default;
    ~place();
    place(place&& other) noexcept = default;
    place& operator=(place&& other) noexcept;
    place(const place&) = delete;
    place& operator=(const place&) = delete;

    // The peer owes the rest of a message, or the begin of a session, since `since`, when it last
    // made progress.
    void set_incomplete(instant since);
    void set_complete();

  private:
    friend class connection_budget;
    place(std::shared_ptr<state> owner, std::uint64_t number);
    void close();

    std::shared_ptr<state> owner_;
    std::uint64_t number_ = 0;
  };

  explicit connection_budget(std::size_t limit);

  // Makes room for one connection; closes an incomplete one for it if all places are taken. Returns
  // false if there is no room: the new connection must be refused.
  bool make_room();

  // Closes the incomplete connection that is longest without progress. Returns false if there is
  // none. Used when the system has no descriptors although there are places.
  bool close_incomplete();

  // Takes a place for a connection that is incomplete since `now`. `end` closes the connection,
  // which destroys the place, at once or later. It is called at most once.
  place open(std::function<void()> end, instant now);

  std::size_t limit() const;
  // Number of connections without those that were told to end.
  std::size_t count() const;

private:
  std::shared_ptr<state> state_;
};

}
