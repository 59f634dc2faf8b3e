#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace persimmonshelf {

// Bounded single-producer, single-consumer ring buffer that passes items to the thread that runs
// the io_context `consumer`. The daemon's threads communicate through rings. push() fails if the
// ring is full, instead of blocking the producer.
template<typename item>
class ring
{
public:
  // `receive` is called on the consumer's thread, once for each item, in the order of the pushes.
  ring(boost::asio::io_context& consumer, std::size_t capacity, std::function<void(item)> receive)
    : consumer_(consumer)
    , items_(capacity)
    , receive_(std::move(receive))
  {
  }

  ~ring()
  {
    item* next = nullptr;
    while (items_.pop(next)) {
      delete next;
    }
  }
  ring(const ring&) = delete;
  ring& operator=(const ring&) = delete;

  // Returns false and leaves `value` unchanged if the ring is full.
  bool push(item&& value)
  {
    if (items_.write_available() == 0) {
      return false;
    }
    auto owned = std::make_unique<item>(std::move(value));
    if (items_.push(owned.get())) {
      // The consumer deletes it.
      static_cast<void>(owned.release());
    }
    if (!wake_pending_.exchange(true)) {
      boost::asio::post(consumer_, [this] { drain(); });
    }
    return true;
  }

private:
  void drain()
  {
    // The flag is cleared before the first pop, so an item pushed after the last pop posts a new
    // wake-up.
    wake_pending_.store(false);
    item* next = nullptr;
    while (items_.pop(next)) {
      const std::unique_ptr<item> owned(next);
      receive_(std::move(*owned));
    }
  }

  boost::asio::io_context& consumer_;
  // Holds owning pointers because spsc_queue copies its elements and items may be move-only.
  boost::lockfree::spsc_queue<item*> items_;
  std::function<void(item)> receive_;
  std::atomic<bool> wake_pending_{ false };
};

}
