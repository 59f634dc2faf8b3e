#pragma once

namespace persimmonshelf {

// Holds back the signals that proxy_node handles (SIGTERM and SIGHUP) in the calling thread and the
// threads that it starts. Called at the begin of the program: until a handler is set, either signal
// would end the process.
void
hold_back_signals();

// Delivers the signals to the calling thread again, those that were held back at once.
void
deliver_signals();

}
