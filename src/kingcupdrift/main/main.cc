#include "kingcupdrift/cli/cli.h"
#include "platform/platform.h"

int main(int argc, char** argv) {
  return kingcupdrift::RunCommandLine(argc, argv,
                                      &kingcupdrift::platform::Serve);
}
