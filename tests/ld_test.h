/* Entry point shared by the CUnit programs. */
#ifndef LD_TEST_H
#define LD_TEST_H

#include <CUnit/Basic.h>
#include <stdio.h>

/** struct ld_test_case - one test: its name and its function */
struct ld_test_case {
	const char *name;
	void (*fn)(void);
};

/**
 * ld_test_main() - run the cases of one suite
 * @suite: name of the suite
 * @cases: array ended by a case whose name is NULL
 *
 * Prints "N passed, N failed" as its last line.
 * Return: the exit status, 0 when every test passed.
 */
static inline int
ld_test_main(const char *suite, const struct ld_test_case *cases)
{
	CU_pSuite s;
	unsigned int run, failed;

	setvbuf(stdout, NULL, _IOLBF, 0);
	if (CU_initialize_registry() != CUE_SUCCESS)
		return 2;
	s = CU_add_suite(suite, NULL, NULL);
	for (; cases->name != NULL; cases++)
		CU_add_test(s, cases->name, cases->fn);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	run = CU_get_number_of_tests_run();
	failed = CU_get_number_of_tests_failed();
	CU_cleanup_registry();
	printf("%u passed, %u failed\n", run - failed, failed);
	return failed == 0 ? 0 : 1;
}

#endif
