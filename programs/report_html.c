/* Prints the report as a web page with inline SVG plots. */
#include "report.h"

#define BAR_WIDTH 320
#define BAR_HEIGHT 14
#define BAR_STEP 20
/* Burn at which a bar has its full width. */
#define BURN_SHOWN_MAX 4.0

static const char style[] =
    "body{font:15px/1.4 system-ui,sans-serif;margin:2em auto;"
    "max-width:70em;color:#222;padding:0 1em}"
    "table{border-collapse:collapse;width:100%}"
    "th,td{text-align:left;padding:.5em .6em;border-bottom:1px solid #ddd;"
    "vertical-align:top}"
    "th{background:#f4f2fa}.n{color:#666;font-size:.9em}"
    "svg text{font:12px system-ui,sans-serif;fill:#333}";

static void
write_escaped(FILE *out, const char *s)
{
	for (; *s != '\0'; s++) {
		switch (*s) {
		case '<':
			fputs("&lt;", out);
			break;
		case '>':
			fputs("&gt;", out);
			break;
		case '&':
			fputs("&amp;", out);
			break;
		case '"':
			fputs("&quot;", out);
			break;
		default:
			fputc(*s, out);
			break;
		}
	}
}

static const char *
bar_colour(double burn)
{
	if (burn >= 1.0)
		return "#c0392b";
	return burn >= 0.5 ? "#d68910" : "#5b7f3b";
}

/* One bar per window. The dashed line marks burn 1.0, at which the error budget
 * is used up. */
static void
write_bars(FILE *out, const struct report *r, const struct report_line *l)
{
	double mark = BAR_WIDTH / BURN_SHOWN_MAX;

	fprintf(out, "<svg width=\"%d\" height=\"%zu\" role=\"img\">",
	    BAR_WIDTH + 170, r->window_count * BAR_STEP + 4);
	for (size_t w = 0; w < r->window_count; w++) {
		double burn = report_burn(l, w);
		double shown = burn < BURN_SHOWN_MAX ? burn : BURN_SHOWN_MAX;
		size_t y = w * BAR_STEP + 2;
		unsigned long long all = l->good[w] + l->bad[w];

		fprintf(out,
		    "<text x=\"0\" y=\"%zu\">%u min</text>"
		    "<rect x=\"60\" y=\"%zu\" width=\"%d\" height=\"%d\" "
		    "fill=\"#f0eef6\"/>"
		    "<rect x=\"60\" y=\"%zu\" width=\"%.1f\" height=\"%d\" "
		    "fill=\"%s\"/>"
		    "<text x=\"%d\" y=\"%zu\">%.2f (%llu of %llu)</text>",
		    y + 12, r->windows_min[w], y, BAR_WIDTH, BAR_HEIGHT, y,
		    shown / BURN_SHOWN_MAX * BAR_WIDTH, BAR_HEIGHT,
		    bar_colour(burn), BAR_WIDTH + 66, y + 12, burn,
		    (unsigned long long)l->bad[w], all);
	}
	fprintf(out,
	    "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"0\" y2=\"%zu\" "
	    "stroke=\"#333\" stroke-dasharray=\"3 2\"/></svg>",
	    60 + mark, 60 + mark, r->window_count * BAR_STEP + 4);
}

static void
write_row(FILE *out, const struct report *r, const struct report_line *l)
{
	fputs("<tr><td><b>", out);
	write_escaped(out, l->owner);
	fprintf(out, "</b><br><span class=n>%s</span></td><td>", l->class);
	write_escaped(out, l->objective);
	fprintf(out, "<br><span class=n>%.1f %%",
	    (double)l->target_permille / 10.0);
	if (l->threshold_ms > 0)
		fprintf(out, " within %llu ms",
		    (unsigned long long)l->threshold_ms);
	fputs("</span></td><td>", out);
	write_bars(out, r, l);
	fputs("</td><td>", out);
	for (size_t c = 0; c < l->cause_count; c++) {
		write_escaped(out, l->causes[c].name);
		fprintf(out, " %llu<br>", (unsigned long long)l->causes[c].bad);
	}
	fputs("</td></tr>\n", out);
}

void
report_html(const struct report *r, FILE *out)
{
	fprintf(out,
	    "<!doctype html><html lang=en><meta charset=utf-8>"
	    "<title>Service-level burn</title><style>%s</style>"
	    "<h1>Service-level burn</h1><p>Burn is the share of misses "
	    "against what the target allows. At 1 (the dashed line) the "
	    "target is just missed; bars end at %.0f. %zu of %zu nodes "
	    "answered.</p><table><tr><th>Caller<th>Objective"
	    "<th>Burn by window (misses of events)<th>Misses by cause</tr>\n",
	    style, BURN_SHOWN_MAX, r->nodes_heard, r->nodes_asked);
	for (size_t i = 0; i < r->line_count; i++)
		write_row(out, r, &r->lines[i]);
	fputs("</table>", out);
	if (r->line_count == 0)
		fputs("<p>No caller has sent anything yet.</p>", out);
	fputs("</html>\n", out);
}
