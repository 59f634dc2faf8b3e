#include "Adapters/event_loop_thread.h"

#include <pthread.h>

namespace persimmonshelf {

event_loop_thread::event_loop_thread(const char* name)
  : work_(boost::asio::make_work_guard(context_))
  , name_(name)
{
}

event_loop_thread::~event_loop_thread()
{
  stop();
}

void
event_loop_thread::start()
{
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_);
    context_.run();
  });
}

void
event_loop_thread::stop()
{
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}
