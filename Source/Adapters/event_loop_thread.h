#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace persimmonshelf {

// One thread of the daemon with its own event loop. Every object of a duty is used on its thread
// only.
class event_loop_thread
{
public:
  // `name` is shown by the system's process tools; at most 15 characters.
  explicit event_loop_thread(const char* name);
  ~event_loop_thread();
  event_loop_thread(const event_loop_thread&) = delete;
  event_loop_thread& operator=(const event_loop_thread&) = delete;

  boost::asio::io_context& context() { return context_; }

  // Starts the loop; called once, after the duty's objects were set up.
  void start();

  // Ends the loop and waits for the thread.
  void stop();

private:
  boost::asio::io_context context_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  const char* name_;
  std::thread thread_;
};

}
