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

// Bounded queue from one producer thread to the one consumer thread that runs `consumer`. The
// daemon joins its threads with it; a full ring refuses the item instead of blocking the producer.
template<typename item>
class ring
{
public:
  // `receive` runs on the consumer's thread, once an item, in order.
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

  // False if the ring is full; the item is then left unchanged.
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
    // The flag is cleared first: an item pushed after the last pop then posts a new wake-up.
    wake_pending_.store(false);
    item* next = nullptr;
    while (items_.pop(next)) {
      const std::unique_ptr<item> owned(next);
      receive_(std::move(*owned));
    }
  }

  boost::asio::io_context& consumer_;
  // The queue copies its elements, so it holds pointers to items that may be movable only.
  boost::lockfree::spsc_queue<item*> items_;
  std::function<void(item)> receive_;
  std::atomic<bool> wake_pending_{ false };
};

}
