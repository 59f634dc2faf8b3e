#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace persimmonshelf {

// A thread of the daemon that runs its own event loop. Objects that use the loop are accessed only
// on this thread while it runs.
class event_loop_thread
{
public:
  // `name` is the thread name that process tools show. Linux allows at most 15 characters.
  explicit event_loop_thread(const char* name);
  ~event_loop_thread();
  event_loop_thread(const event_loop_thread&) = delete;
  event_loop_thread& operator=(const event_loop_thread&) = delete;

  boost::asio::io_context& context() { return context_; }

  // Starts the loop. Must be called once, after the objects that use the loop have been set up.
  void start();

  // Stops the loop and waits for the thread to end.
  void stop();

private:
  boost::asio::io_context context_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  const char* name_;
  std::thread thread_;
};

}
