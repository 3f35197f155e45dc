package ploverdale.tools.lab;

import java.awt.Color;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws line charts of CSV files that experiments wrote. */
public final class Plot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 500;

    private Plot() {}

    /**
     * Draws columns of a CSV file over its first column, on a logarithmic axis, and writes the chart as a PNG image.
     *
     * @param csv the CSV file, with a header line
     * @param valueLabel label of the vertical axis
     * @param columns names of the columns to draw, as in the header line
     */
    public static void draw(Path csv, Path image, String title, String valueLabel, List<String> columns)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        List<String> lines = Files.readAllLines(csv);
        List<String> header = Arrays.asList(lines.get(0).split(","));
        XYSeriesCollection dataset = new XYSeriesCollection();
        for (String column : columns) {
            XYSeries series = new XYSeries(column);
            for (String line : lines.subList(1, lines.size())) {
                String[] cells = line.split(",");
                series.add(Double.parseDouble(cells[0]), Double.parseDouble(cells[header.indexOf(column)]));
            }
            dataset.addSeries(series);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(title, header.get(0), valueLabel, dataset);
        LogAxis axis = new LogAxis(header.get(0));
        axis.setBase(2);
        chart.getXYPlot().setDomainAxis(axis);
        chart.getXYPlot().setBackgroundPaint(Color.WHITE);
        chart.getXYPlot().setRangeGridlinePaint(Color.LIGHT_GRAY);
        chart.getXYPlot().setRenderer(new XYLineAndShapeRenderer(true, true));
        ChartUtils.saveChartAsPNG(new File(image.toString()), chart, WIDTH, HEIGHT);
    }
}
