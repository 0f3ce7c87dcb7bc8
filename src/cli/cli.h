// The command line: reads arguments and calls one package for each sub-command. It must never decide anything
// else, and without arguments the program does not come here.
#pragma once

namespace dewweir::cli {

// 0: done. 1: it ran and found a fault. 2: bad arguments or files, or what the machine does not give.
int run(int argc, char** argv);

}  // namespace dewweir::cli
