#include "ProxyNode/signal_mask.h"

#include <csignal>

namespace persimmonshelf {

namespace {

void
change_mask(int how)
{
  sigset_t handled;
  sigemptyset(&handled);
  sigaddset(&handled, SIGTERM);
  sigaddset(&handled, SIGHUP);
  // Fails only for an unknown `how`.
  pthread_sigmask(how, &handled, nullptr);
}

}

void
hold_back_signals()
{
  change_mask(SIG_BLOCK);
}

void
deliver_signals()
{
  change_mask(SIG_UNBLOCK);
}

}
