// mvload: placeholder while the load tool is being written.
int
main(void)
{
	return 2;
}
