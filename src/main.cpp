// The program: without arguments the gateway, as the platform starts it; else the command line.
#include "cli/cli.h"
#include "serve.h"

int main(int argc, char** argv) { return argc > 1 ? dewweir::cli::run(argc, argv) : dewweir::serve(nullptr); }
