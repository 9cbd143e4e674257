#include "dogwoodhall/ctl/Command.h"

#include <iostream>

int main(int argc, char** argv) { return dogwoodhall::runProgram({ argv + 1, argv + argc }, std::cout, std::cerr); }
