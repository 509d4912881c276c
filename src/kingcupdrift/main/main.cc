#include "kingcupdrift/cli/cli.h"

int main(int argc, char** argv) {
  return kingcupdrift::RunCommandLine(argc, argv);
}
