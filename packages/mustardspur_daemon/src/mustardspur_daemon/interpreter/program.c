/*
 * Runs Python in this process, with SIGHUP ignored before Python starts.
 *
 * The default action of SIGHUP ends a process, and Python needs 10 ms or more
 * before it runs the first line of a program. The program is linked with the C
 * library only and loads Python once the signal is ignored, so that little
 * runs before. PYTHON_LIBRARY is left out if Python is linked statically.
 */

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#ifdef PYTHON_LIBRARY
#include <dlfcn.h>
#else
extern int Py_BytesMain(int argc, char **argv);
#endif

enum { CANNOT_START = 3 };

typedef int (*python_main)(int argc, char **argv);

static python_main load_python(void)
{
#ifdef PYTHON_LIBRARY
    /* Extension modules find Python's symbols in the global scope only. */
    void *library = dlopen(PYTHON_LIBRARY, RTLD_NOW | RTLD_GLOBAL);

    if (library == NULL) {
        return NULL;
    }
    return (python_main)dlsym(library, "Py_BytesMain");
#else
    return Py_BytesMain;
#endif
}

int main(int argc, char **argv)
{
    python_main run;

    signal(SIGHUP, SIG_IGN);
    /* Python derives the virtual environment and its folders from this. */
    argv[0] = PYTHON_EXECUTABLE;
    run = load_python();
    if (run != NULL) {
        return run(argc, argv);
    }
#ifdef PYTHON_LIBRARY
    dprintf(2, "cannot load Python, build this again: %s\n", dlerror());
#endif
    /* The library has moved since the build; the interpreter may be there. */
    execv(PYTHON_EXECUTABLE, argv);
    execvp("python3", argv);
    return CANNOT_START;
}
