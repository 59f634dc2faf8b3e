#include "Adapters/duty_thread.h"

#include <pthread.h>

namespace persimmonshelf {

duty_thread::duty_thread(const char* name)
  : work_(boost::asio::make_work_guard(context_))
  , name_(name)
{
}

duty_thread::~duty_thread()
{
  stop();
}

void
duty_thread::start()
{
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_);
    context_.run();
  });
}

void
duty_thread::stop()
{
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}
