// The sub-commands' program. People start it as `dewweir SUB-COMMAND`; that program becomes this one.
#include "cli.h"

int main(int argc, char** argv) { return dewweir::cli::run(argc, argv); }
